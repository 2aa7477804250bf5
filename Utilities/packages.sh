#!/usr/bin/env bash
# Installs the Debian packages required by the build, the tests and the reports.
set -eu
export DEBIAN_FRONTEND=noninteractive
packages=(
  build-essential g++ clang clang-format clang-tidy cmake ninja-build ccache
  pkg-config libabsl-dev libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev libcpp-httplib-dev
  libtomlplusplus-dev libboost-dev libboost-log-dev libboost-test-dev
  libboost-random-dev liburcu-dev librapidcheck-dev nlohmann-json3-dev
  libxxhash-dev libuv1-dev libhttp-parser-dev libssl-dev openssl libclang-rt-14-dev spin gnuplot-nox
)
if dpkg-query -W -f='${db:Status-Abbrev}\n' "${packages[@]}" 2>/dev/null |
  grep -vq '^ii' || ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  apt-get install -y -qq "${packages[@]}" >/dev/null
fi
