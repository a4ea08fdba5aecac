#pragma once

#include "base/Clock.h"

#include <QByteArray>
#include <QTcpSocket>
#include <QUdpSocket>
#include <memory>
#include <string>
#include <vector>

// Clients that send more than the limits allow, or never finish, for tests under load. Each keeps its connection and sends on, whatever
// it is answered, until the process closes it; then another client takes its place.

namespace hemlockweir {

// An address that the clients connect to, or send datagrams to.
struct CrowdAddress {
    std::string endpoint; // ADDRESS:PORT
    QByteArray path; // of an ordinary request there
    bool isDatagram = false;
};

class ClientCrowd {
public:
    ClientCrowd(std::vector<CrowdAddress> addresses, Random random, size_t clients);
    ~ClientCrowd();

    // Sends the next bytes of each client. Call often, and run the event loop of Qt between two calls.
    void update();

    // Returns the number of connections opened so far.
    size_t connectionCount() const { return connections_; }

private:
    struct Client;

    void reconnect(Client& client);
    void sendDatagram(const CrowdAddress& address);

    std::vector<CrowdAddress> streams_;
    std::vector<CrowdAddress> datagrams_;
    Random random_;
    std::vector<std::unique_ptr<Client>> clients_;
    QUdpSocket udp_;
    size_t connections_ = 0;
};

} // namespace hemlockweir
