// The fault matrices name only tests that exist, and docs/FAULT-MATRIX.md explains every short name that it uses.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

const std::string packageRoot = POLLENSPOKE_SOURCE_DIR "/packages/";

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> splitCells(const std::string &line)
{
    std::vector<std::string> cells;
    std::istringstream in(line.substr(1));
    for (std::string cell; std::getline(in, cell, '|');) {
        cells.push_back(cell.substr(1, cell.size() - 2));
    }
    return cells;
}

// Maps each short name to its explanation: the rows with two columns.
std::map<std::string, std::string> readLegend(const std::string &page)
{
    std::map<std::string, std::string> legend;
    std::istringstream in(page);
    for (std::string line; std::getline(in, line);) {
        const bool isRow = line.starts_with("| ") && splitCells(line).size() == 2;
        if (isRow) {
            const std::vector<std::string> cells = splitCells(line);
            legend[cells[0]] = cells[1];
        }
    }
    return legend;
}

// All cells of the matrix rows but the first one of each, which names the fault.
std::vector<std::string> readMatrixCells(const std::string &page)
{
    constexpr std::size_t columns = 9;
    std::vector<std::string> matrixCells;
    std::istringstream in(page);
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with("| ") || line.starts_with("| ---") || line.starts_with("| fault |")) {
            continue;
        }
        const std::vector<std::string> cells = splitCells(line);
        if (cells.size() != 2) {
            BOOST_TEST(cells.size() == columns, line);
            matrixCells.insert(matrixCells.end(), cells.begin() + 1, cells.end());
        }
    }
    return matrixCells;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_test_that_the_fault_matrices_name_exists)
{
    const std::string page
        = readFile(POLLENSPOKE_SOURCE_DIR "/docs/FAULT-MATRIX.md") + readFile(POLLENSPOKE_SOURCE_DIR "/docs/FAULT-MATRIX-CALLERS.md");
    const std::regex testReference("`([a-z_]+)\\.([a-z_0-9]+)`: `([a-z_0-9]+)`");
    std::size_t n = 0;
    for (std::sregex_iterator it(page.begin(), page.end(), testReference), end; it != end; ++it, ++n) {
        const std::string source = readFile(packageRoot + (*it)[1].str() + "/tests/test_" + (*it)[2].str() + ".cpp");
        const bool exists = source.find("BOOST_AUTO_TEST_CASE(" + (*it)[3].str() + ")") != std::string::npos;
        BOOST_TEST(exists, it->str());
    }
    BOOST_TEST(n > 0U);
}

BOOST_AUTO_TEST_CASE(every_cell_of_the_fault_matrix_is_explained_and_every_explanation_used)
{
    const std::string page = readFile(POLLENSPOKE_SOURCE_DIR "/docs/FAULT-MATRIX.md");
    const std::map<std::string, std::string> legend = readLegend(page);
    std::set<std::string> used{"short", "---"};
    for (const std::string &cell : readMatrixCells(page)) {
        BOOST_TEST(!cell.empty());
        std::istringstream in(cell);
        for (std::string word; in >> word;) {
            if (word != "-" && word != "open") {
                BOOST_TEST(legend.count(word) == 1U, word + " is not explained");
                used.insert(word);
            }
        }
    }
    for (const auto &[name, meaning] : legend) {
        BOOST_TEST(used.count(name) == 1U, name + " is not used");
    }
}
