#pragma once

#include <rapidcheck.h>
#include <string>

// Applies random mutations to a text, for fuzz tests inside rc::check.

namespace hemlockweir {

inline std::string mutate(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size())));
        const auto length = static_cast<size_t>(*rc::gen::inRange(1, 12));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, *rc::gen::string<std::string>());
            break;
        case 2:
            text.insert(at, text.substr(text.size() - 1 - at, length));
            break;
        default:
            text[at] = *rc::gen::element('[', ']', '{', '}', '"', '=', '\n', '-', '9', '.', '\0', '\xff');
        }
    }
    return text;
}

} // namespace hemlockweir
