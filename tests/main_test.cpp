#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

// The mock library reports through the test framework.
#include <catch2/trompeloeil.hpp>
