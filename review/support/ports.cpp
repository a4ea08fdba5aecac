// Prints free ports, one a line: ports COUNT.

#include "Http.h"

#include <iostream>
#include <set>

int main(int argc, char** argv)
{
    const size_t count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1;
    std::set<uint16_t> ports;
    while (ports.size() < count)
        ports.insert(review::findFreePort());
    for (const uint16_t port : ports)
        std::cout << port << '\n';
    return 0;
}
