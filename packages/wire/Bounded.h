#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

// Length checks for containers received from the network. cereal resizes a container to the length
// that it reads before it reads the elements, so a forged length could allocate gigabytes. Each
// container is therefore serialized with the maximum length that its message allows.
//
//   template <class Archive> void serialize(Archive& archive) { archive(bounded(name, 64)); }

namespace hemlockweir {

// Refers to a string or vector and holds its maximum number of elements.
template <typename Container>
struct Bounded {
    Container& value;
    uint32_t limit;
};

// Wraps a container for serialization. Reading or writing more than `limit` elements throws
// std::length_error; decodeBody() converts it to a status when reading.
template <typename Container>
Bounded<Container> bounded(Container& value, uint32_t limit)
{
    return { value, limit };
}

template <class Archive, typename Container>
void save(Archive& archive, const Bounded<Container>& field)
{
    if (field.value.size() > field.limit)
        throw std::length_error("a field exceeds its maximum length");
    archive(static_cast<uint32_t>(field.value.size()));
    if constexpr (std::is_same_v<std::remove_const_t<Container>, std::string>) {
        archive(cereal::binary_data(field.value.data(), field.value.size()));
    } else {
        for (auto& element : field.value)
            archive(element);
    }
}

// Reads text in chunks, so that a length greater than the received data allocates at most one chunk
// too many.
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
        throw std::length_error("a field exceeds its maximum length");
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

// Refers to a list of strings, with limits for the list and for each string.
struct BoundedNames {
    std::vector<std::string>& names;
    uint32_t limit;
    uint32_t lengthLimit; // bytes, for each name
};

// Wraps a list of strings for serialization, like bounded().
inline BoundedNames boundedNames(std::vector<std::string>& names, uint32_t limit, uint32_t lengthLimit)
{
    return { names, limit, lengthLimit };
}

template <class Archive>
void save(Archive& archive, const BoundedNames& field)
{
    if (field.names.size() > field.limit)
        throw std::length_error("a list exceeds its maximum length");
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
        throw std::length_error("a list exceeds its maximum length");
    field.names.clear();
    for (uint32_t i = 0; i < size; ++i) {
        std::string name;
        archive(bounded(name, field.lengthLimit));
        field.names.push_back(std::move(name));
    }
}

} // namespace hemlockweir
