#include "Network.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

std::string domainOfEndpoint(const std::string& name)
{
    return name.substr(0, 1);
}

Network::Network(ProcessSet& processes, PostFaults post, NetworkOptions options)
    : processes_(processes)
    , post_(std::move(post))
    , options_(options)
{
}

void Network::addDomain(const std::string& domain, std::vector<std::string> nodes)
{
    Domain& entry = domains_[domain];
    for (const std::string& node : nodes) {
        entry.links.push_back({ .name = "peers-" + node, .target = node + ".peers", .targetDomain = {}, .isUdp = true, .delayMs = options_.domainDelayMs });
        // Nodes send each other configurations over TCP, on the same address.
        entry.links.push_back({ .name = "documents-" + node, .target = node + ".peers", .targetDomain = {}, .delayMs = options_.domainDelayMs });
    }
    entry.nodes = std::move(nodes);
}

std::string Network::linkAddress(const std::string& domain, const std::string& process)
{
    const bool isPlatform = process == "store" || process.starts_with("list-");
    const std::string targetDomain = isPlatform ? std::string() : domainOfEndpoint(process);
    if (targetDomain == domain)
        return processes_.addressOf(process);
    const std::string name = domain + "-to-" + process;
    std::vector<Link>& links = domains_.at(domain).links;
    const bool isKnown = std::any_of(links.begin(), links.end(), [&](const Link& link) { return link.name == name; });
    if (!isKnown)
        links.push_back({ .name = name, .target = process, .targetDomain = targetDomain, .delayMs = options_.domainDelayMs });
    return processes_.addressOf(name);
}

std::string Network::peerAddressOf(const std::string& node)
{
    return processes_.addressOf("peers-" + node);
}

void Network::start()
{
    for (const auto& [domain, entry] : domains_) {
        QStringList arguments { "--listen", QString::fromStdString(processes_.addressOf(proxyNameOf(domain))) };
        for (const Link& link : entry.links) {
            const bool isDocumentLink = link.name.starts_with("documents-");
            const std::string listen = isDocumentLink ? processes_.addressOf("peers-" + link.name.substr(link.name.find('-') + 1)) : processes_.addressOf(link.name);
            arguments << "--link" << QString::fromStdString(link.name + "," + listen + "," + processes_.addressOf(link.target) + (link.isUdp ? ",udp" : ""));
        }
        processes_.start(proxyNameOf(domain), "standin-proxy", arguments);
        setDelays(domain);
    }
}

// The proxy accepts integral milliseconds, so a half millisecond of the one-way delay is moved from
// the response to the request. The round-trip time stays exact.
void Network::setDelays(const std::string& domain)
{
    QJsonObject faults;
    for (const Link& link : domains_.at(domain).links) {
        const int requestDelay = static_cast<int>(std::ceil(link.delayMs));
        const QString name = QString::fromStdString(link.name);
        faults[name + ".delay_ms"] = requestDelay;
        faults[name + ".answer_delay_ms"] = static_cast<int>(std::lround(2 * link.delayMs)) - requestDelay;
    }
    post_(proxyNameOf(domain), faults);
}

void Network::partition(const std::string& domain)
{
    partitionedDomains_.insert(domain);
    setPartitioned(domain, true);
}

void Network::heal()
{
    for (const std::string& domain : std::exchange(partitionedDomains_, {}))
        setPartitioned(domain, false);
}

void Network::setPartitioned(const std::string& domain, bool isPartitioned)
{
    QString partitionedNodes;
    for (const std::string& node : domains_.at(domain).nodes)
        partitionedNodes += (partitionedNodes.isEmpty() ? "" : ",") + QString::fromStdString(processes_.addressOf(node + ".peers"));
    for (const auto& [name, entry] : domains_) {
        QJsonObject faults;
        for (const Link& link : entry.links) {
            const QString linkName = QString::fromStdString(link.name);
            if (name == domain || link.targetDomain == domain)
                faults[linkName + ".cut"] = isPartitioned;
            else if (link.isUdp)
                faults[linkName + ".cut_from"] = isPartitioned ? partitionedNodes : QString();
        }
        post_(proxyNameOf(name), faults);
    }
}

} // namespace hemlockweir
