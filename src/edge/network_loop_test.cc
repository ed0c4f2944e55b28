#include "edge/network_loop.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace endivetrestle;

// Guards against a wake-up that is lost when several threads post at once.
TEST_CASE("NetworkLoop, runs every task when several threads post")
{
    NetworkLoop loop;
    loop.start();
    std::atomic<int> count = 0;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int i = 0; i < 1000; ++i)
                loop.post([&](kj::AsyncIoContext&) { ++count; });
        });
    }
    for (auto& thread : threads)
        thread.join();
    loop.run([](kj::AsyncIoContext&) {});
    loop.stop();
    CHECK(count == 4000);
}
