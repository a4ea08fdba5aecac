#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

// Values the layout of one fabric domain: how many engines its hosts can bring into service with the copies of models
// that they hold, now and after the loss of any member of a replica, and which further copies increase that most.
// Pure functions of the domain's state.

namespace hemlockweir {

// Models that copies are planned for; a service with more of them gets copies of the first ones only.
inline constexpr size_t maxCopyModels = 4;

// A set of models, as bits by their index in the service's profile.
using ModelSet = uint32_t;

inline constexpr size_t modelSetCount = size_t { 1 } << maxCopyModels;

// What the engines of a replica are worth, and what a copy costs.
struct ModelWeight {
    size_t size = 1; // engines per replica
    double engineValue = 1; // value of one engine in service
    double loadCost = 1; // time of a load relative to the other models

    auto operator<=>(const ModelWeight&) const = default;
};

// A host of the domain.
struct DomainHost {
    ModelSet warm = 0; // models that its engine can serve without a load from the weight store, counting a load in progress
    ModelSet warmAfterLoad = 0; // the same after one more load, without the loaded model
    int replica = -1; // index in DomainState::replicas; -1: the engine is in no replica
    bool mayLoad = false; // it can load a copy now

    auto operator<=>(const DomainHost&) const = default;
};

// The live hosts of a domain and the model of each of its whole replicas, by index in the service's profile.
struct DomainState {
    std::vector<DomainHost> hosts;
    std::vector<size_t> replicas;

    auto operator<=>(const DomainState&) const = default;
};

// Numbers of hosts by the set of models that they are warm for.
using HostCounts = std::array<uint32_t, modelSetCount>;

// Returns the highest total value of replicas that these hosts can form, each host in one replica at most.
double valueOfHosts(const HostCounts& hosts, const std::vector<ModelWeight>& models);

// Returns the value that the domain's free hosts can bring into service, plus the expected value after one more host
// of a replica is lost. Either may break up another replica if that gains more than it costs.
double valueOfDomain(const DomainState& domain, const std::vector<ModelWeight>& models);

// Copies of one model to load onto hosts of a domain.
struct CopyChoice {
    size_t model = 0; // index in the service's profile
    std::vector<size_t> hosts; // indices in DomainState::hosts
    double gainPerLoad = 0; // value gained by each load, at a load cost of 1

    auto operator<=>(const CopyChoice&) const = default;
};

// Returns the copies that gain most per load; nullopt if no copy gains anything.
std::optional<CopyChoice> chooseCopies(const DomainState& domain, const std::vector<ModelWeight>& models);

// Changes the state as if the copies were being loaded.
void applyCopies(DomainState& domain, const CopyChoice& choice);

} // namespace hemlockweir
