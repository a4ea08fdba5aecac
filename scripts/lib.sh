# Sourced by the scripts: changes to the root of the project, and defines functions that install missing packages
# and build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BUILD_DIR="${BUILD_DIR:-build}"
# Allows checkouts in different folders to share cached objects.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

PACKAGES="g++ cmake ninja-build ccache clang-format clang-tidy curl qt6-base-dev qt6-httpserver-dev qt6-websockets-dev
libcereal-dev prometheus-cpp-dev libboost-program-options-dev libgoogle-glog-dev libabsl-dev librapidcheck-dev
libtomlplusplus-dev libssl-dev openssl libgtest-dev libbenchmark-dev"

install_packages() {
    local missing=""
    for package in $PACKAGES; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
    done
    if [ -n "$missing" ]; then
        apt-get update -qq
        # shellcheck disable=SC2086
        DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
    fi
}

# Builds the given targets, or everything. CMAKE_ARGS: more arguments for CMake, separated by spaces.
build() {
    # shellcheck disable=SC2086
    cmake -S . -B "$BUILD_DIR" -G Ninja ${CMAKE_ARGS:-} >/dev/null
    cmake --build "$BUILD_DIR" -j "${BUILD_JOBS:-$(nproc)}" ${1:+--target "$@"}
}
