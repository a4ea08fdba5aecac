#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

// Length checks for what comes from the network: cereal sizes a container by the length it reads,
// so each one is serialized with the largest length that its message allows.
//
//   template <class Archive> void serialize(Archive& archive) { archive(bounded(name, 64)); }

namespace hemlockweir {

// A reference to a string or vector, and how many elements it may have.
template <typename Container>
struct Bounded {
    Container& value;
    uint32_t limit;
};

// Wraps a container for serialization. Reading more than `limit` elements throws
// std::length_error, which decodeMessage() turns into a status.
template <typename Container>
Bounded<Container> bounded(Container& value, uint32_t limit)
{
    return { value, limit };
}

template <class Archive, typename Container>
void save(Archive& archive, const Bounded<Container>& field)
{
    if (field.value.size() > field.limit)
        throw std::length_error("a field is longer than its message allows");
    archive(static_cast<uint32_t>(field.value.size()));
    if constexpr (std::is_same_v<std::remove_const_t<Container>, std::string>) {
        archive(cereal::binary_data(field.value.data(), field.value.size()));
    } else {
        for (auto& element : field.value)
            archive(element);
    }
}

// Reads text in pieces, so that a length beyond what was sent costs one chunk offset most.
template <class Archive>
void loadText(Archive& archive, std::string& text, uint32_t size)
{
    constexpr uint32_t maxChunkBytes = 64 * 1024;
    while (size > 0) {
        const uint32_t chunk = std::min(size, maxChunkBytes);
        const size_t offset = text.size();
        text.resize(offset + chunk);
        archive(cereal::binary_data(text.data() + offset, chunk));
        size -= chunk;
    }
}

template <class Archive, typename Container>
void load(Archive& archive, Bounded<Container>& field)
{
    uint32_t size = 0;
    archive(size);
    if (size > field.limit)
        throw std::length_error("a field is longer than its message allows");
    field.value.clear();
    if constexpr (std::is_same_v<Container, std::string>) {
        loadText(archive, field.value, size);
    } else {
        for (uint32_t i = 0; i < size; ++i) {
            typename Container::value_type element {};
            archive(element);
            field.value.push_back(std::move(element));
        }
    }
}

// A list of strings with a limit on each of them as well.
struct BoundedNames {
    std::vector<std::string>& names;
    uint32_t limit;
    uint32_t lengthLimit; // bytes of one name
};

inline BoundedNames boundedNames(std::vector<std::string>& names, uint32_t limit, uint32_t lengthLimit)
{
    return { names, limit, lengthLimit };
}

template <class Archive>
void save(Archive& archive, const BoundedNames& field)
{
    if (field.names.size() > field.limit)
        throw std::length_error("a list is longer than its message allows");
    archive(static_cast<uint32_t>(field.names.size()));
    for (std::string& name : field.names)
        archive(bounded(name, field.lengthLimit));
}

template <class Archive>
void load(Archive& archive, BoundedNames& field)
{
    uint32_t size = 0;
    archive(size);
    if (size > field.limit)
        throw std::length_error("a list is longer than its message allows");
    field.names.clear();
    for (uint32_t i = 0; i < size; ++i) {
        std::string name;
        archive(bounded(name, field.lengthLimit));
        field.names.push_back(std::move(name));
    }
}

} // namespace hemlockweir
