/// Checks that the tables in docs/ match the tables in the code.

#include "limpettrestle/result_codes.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace limpettrestle;

TEST_CASE("docs/RESULT-CODES.md lists every code with its name, meaning and status")
{
    std::ifstream in(std::string(LIMPETTRESTLE_SOURCE_DIR) + "/docs/RESULT-CODES.md");
    REQUIRE(in);
    std::stringstream text;
    text << in.rdbuf();
    int expectedRows = 0;
    for (int i = 0; i < resultCodeCount(); ++i) {
        const ResultCodeInfo& info = resultCodeTable()[i];
        const std::string row = "| " + std::to_string(static_cast<int>(info.code)) + " | `" + std::string(info.name) + "` | "
            + std::to_string(info.httpStatus) + " | " + std::string(info.meaning) + " |";
        INFO(row);
        CHECK(text.str().find(row) != std::string::npos);
        ++expectedRows;
    }
    std::string line;
    int documentedRows = 0;
    while (std::getline(text, line))
        documentedRows += line.rfind("| ", 0) == 0 && line.size() > 2 && std::isdigit(static_cast<unsigned char>(line[2])) != 0 ? 1 : 0;
    CHECK(documentedRows == expectedRows);
}
