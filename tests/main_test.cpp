#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

// Makes trompeloeil report failed expectations through Catch2.
#include <catch2/trompeloeil.hpp>
