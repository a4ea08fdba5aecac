#include "replicas/EngineOrder.h"

namespace hemlockweir {

std::string_view orderKindName(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::Join:
        return "join";
    case EngineOrderKind::Open:
        return "open";
    case EngineOrderKind::Close:
        return "close";
    case EngineOrderKind::Leave:
        return "leave";
    case EngineOrderKind::Stage:
        return "stage";
    }
    return "unknown";
}

std::string_view orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Begun:
        return "begun";
    case OrderResult::Done:
        return "done";
    case OrderResult::Refused:
        return "refused";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::WrongEngine:
        return "wrong_engine";
    case OrderResult::Unknown:
        return "unknown";
    case OrderResult::Unreachable:
        return "unreachable";
    case OrderResult::Unsent:
        return "unsent";
    }
    return "unknown";
}

} // namespace hemlockweir
