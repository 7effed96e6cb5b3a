#include <fstream>
#include <set>
#include <sstream>

#include "spindleweir/core/result_code.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(result_code, docs_list_exactly_the_table) {
  std::ifstream in(SPINDLEWEIR_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("| ") && std::isdigit(line[2]) != 0) {
      rows.insert(line);
    }
  }
  std::set<std::string> expected;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.mCode) << " | " << info.mName << " | "
        << info.mHttpStatus << " | " << NameOf(info.mRan) << " | "
        << info.mMeaning << " |";
    expected.insert(row.str());
  }
  for (const std::string& row : expected) {
    cr_expect(rows.contains(row), "docs/RESULT_CODES.md lacks the row: %s",
              row.c_str());
  }
  CHECK(rows.size() == expected.size());
}

Test(result_code, codes_ascend_and_refusals_before_dispatch_say_not_run) {
  int last = -1;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const int code = static_cast<int>(info.mCode);
    CHECK(code > last);
    last = code;
    if (code >= 1000 && code < 3000) {
      CHECK(info.mRan == Ran::kNo);
    }
  }
}
