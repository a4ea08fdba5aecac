#include "gateway/EventLoop.h"

#include <exception>

namespace hemlockweir {

void runEventLoop(boost::asio::io_context& context, const std::function<void(const std::string&)>& onError)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            onError(error.what());
        }
    }
}

} // namespace hemlockweir
