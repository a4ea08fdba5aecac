#include "node/HomeLink.h"

namespace hemlockweir {

HomeLink::HomeLink(Options options, HomeLedger& ledger)
    : options_(std::move(options))
    , ledger_(ledger)
    , client_({ .clusterKey = options_.clusterKey,
          .random = options_.random,
          .sendClaim = [this](const std::string& home, const HomeClaim& claim, HomeClient::Done done) {
              if (home == options_.home)
                  done(ledger_.claim(claim, options_.node));
              else
                  ask(home, claim, std::move(done)); },
          .sendSettle = [this](const std::string& home, const HomeSettle& outcome, HomeClient::Done done) {
              if (home == options_.home)
                  done(ledger_.settle(outcome));
              else
                  ask(home, outcome, std::move(done)); } })
{
}

void HomeLink::serveAt(PeerServer& server)
{
    server.setHandler(MessageKind::HomeClaim, [this](const Envelope& envelope) { return answerClaim(envelope); });
    server.setHandler(MessageKind::HomeSettle, [this](const Envelope& envelope) { return answerSettle(envelope); });
}

std::optional<QByteArray> HomeLink::answerClaim(const Envelope& envelope)
{
    const auto claim = decodeBody<HomeClaim>(envelope.body);
    if (!claim.ok())
        return std::nullopt;
    return sealMessage(ledger_.claim(*claim, envelope.sender.node), nextSender(), options_.clusterKey);
}

std::optional<QByteArray> HomeLink::answerSettle(const Envelope& envelope)
{
    const auto outcome = decodeBody<HomeSettle>(envelope.body);
    if (!outcome.ok())
        return std::nullopt;
    return sealMessage(ledger_.settle(*outcome), nextSender(), options_.clusterKey);
}

Sender HomeLink::nextSender()
{
    return { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ };
}

template <typename Message>
void HomeLink::ask(const std::string& home, const Message& message, HomeClient::Done done)
{
    if (calls_ >= options_.maxCalls) {
        done(absl::ResourceExhaustedError("too many requests to home nodes are in flight"));
        return;
    }
    ++calls_;
    auto* call = new PeerCall({ .clusterKey = options_.clusterKey, .timeout = options_.timeout });
    call->setParent(this);
    call->start(home, sealMessage(message, nextSender(), options_.clusterKey), [this, call, done](const absl::StatusOr<Envelope>& envelope) {
        --calls_;
        call->deleteLater();
        if (!envelope.ok())
            done(envelope.status());
        else if (envelope->kind != MessageKind::HomeAnswer)
            done(absl::InvalidArgumentError("another message than asked for"));
        else
            done(decodeBody<HomeAnswer>(envelope->body));
    });
}

} // namespace hemlockweir
