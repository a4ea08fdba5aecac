#include "node/HomeLink.h"

namespace hemlockweir {

HomeLink::HomeLink(Options options, HomeLedger& ledger, PeerClient& peers)
    : options_(std::move(options))
    , ledger_(ledger)
    , peers_(peers)
    , client_({ .clusterKey = options_.clusterKey,
          .random = options_.random,
          .sendClaim = [this](const std::string& home, const HomeClaim& claim, HomeClient::Done done) {
              if (home == options_.home)
                  done(ledger_.claim(claim, options_.node));
              else
                  peers_.sendRequest<HomeAnswer>(home, claim, std::move(done)); },
          .sendOutcome = [this](const std::string& home, const HomeOutcome& outcome, HomeClient::Done done) {
              if (home == options_.home)
                  done(ledger_.settle(outcome));
              else
                  peers_.sendRequest<HomeAnswer>(home, outcome, std::move(done)); } })
{
}

void HomeLink::serveAt(PeerServer& server)
{
    server.setHandler(MessageKind::HomeClaim, [this](const Envelope& envelope, const PeerServer::Responder& respond) { respond(answerClaim(envelope)); });
    server.setHandler(MessageKind::HomeOutcome, [this](const Envelope& envelope, const PeerServer::Responder& respond) { respond(answerOutcome(envelope)); });
}

std::optional<QByteArray> HomeLink::answerClaim(const Envelope& envelope)
{
    const auto claim = decodeBody<HomeClaim>(envelope.body);
    if (!claim.ok())
        return std::nullopt;
    return peers_.seal(ledger_.claim(*claim, envelope.sender.node));
}

std::optional<QByteArray> HomeLink::answerOutcome(const Envelope& envelope)
{
    const auto outcome = decodeBody<HomeOutcome>(envelope.body);
    if (!outcome.ok())
        return std::nullopt;
    return peers_.seal(ledger_.settle(*outcome));
}

} // namespace hemlockweir
