#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace hemlockweir {

// Runs the handlers of an event loop until it is stopped. An exception that a handler throws ends that handler only:
// `onError` receives its text, and the other handlers go on.
void runEventLoop(boost::asio::io_context& context, const std::function<void(const std::string&)>& onError);

} // namespace hemlockweir
