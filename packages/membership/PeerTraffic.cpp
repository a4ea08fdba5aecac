#include "membership/PeerTraffic.h"

namespace hemlockweir {

const char* nameOf(SendPurpose purpose)
{
    switch (purpose) {
    case SendPurpose::NearDigest:
        return "near_digest";
    case SendPurpose::FarDigest:
        return "far_digest";
    case SendPurpose::NearBroadcast:
        return "near_broadcast";
    case SendPurpose::FarBroadcast:
        return "far_broadcast";
    case SendPurpose::Relayed:
        return "relayed";
    case SendPurpose::Handshake:
        return "greeting";
    case SendPurpose::Answer:
        return "answer";
    }
    return "other";
}

} // namespace hemlockweir
