#include "servers/routing/load_check.h"

#include <algorithm>

#include "spindleweir/core/lenient_columns.h"

namespace spindleweir {

namespace {

/// Codec that visits the columns of a table and checks each row. An empty
/// column stands for zeros.
class RowCheck {
 public:
  void Sparse(const char*, std::vector<std::string>& aNames) {
    mNames = &aNames;
    mMinRows = aNames.size();
    mMaxRows = mMinRows;
  }
  template <class T>
  void Sparse(const char*, std::vector<T>& aNumbers) {
    if (aNumbers.empty()) {
      return;
    }
    mMinRows = std::min(mMinRows, aNumbers.size());
    mMaxRows = std::max(mMaxRows, aNumbers.size());
    mIsNegative.push_back(
        [&aNumbers](std::size_t aRow) { return aNumbers[aRow] < 0; });
  }

  /// Returns for each row whether it is valid; passes the invalid ones to
  /// aOnBad.
  std::vector<bool> Usable(const InvalidRowHook& aOnBad) const {
    std::vector<bool> usable(mMaxRows, false);
    for (std::size_t i = 0; i < mMaxRows; i++) {
      try {
        RequireValid(i);
        usable[i] = true;
      } catch (const Error& error) {
        aOnBad(i < mNames->size() ? (*mNames)[i] : "", error);
      }
    }
    return usable;
  }

 private:
  void RequireValid(std::size_t aRow) const {
    if (aRow >= mMinRows) {
      throw Error(ResultCode::kBadField,
                  "a column of the load table has no value for this row");
    }
    RequireInstance((*mNames)[aRow]);
    const bool negative = std::any_of(
        mIsNegative.begin(), mIsNegative.end(),
        [aRow](const auto& aIsNegative) { return aIsNegative(aRow); });
    if (negative) {
      throw Error(ResultCode::kBadField,
                  "a load value is negative; it must be 0 or more");
    }
  }

  const std::vector<std::string>* mNames = nullptr;
  std::size_t mMinRows = 0;
  std::size_t mMaxRows = 0;
  std::vector<std::function<bool(std::size_t)>> mIsNegative;
};

/// Codec that removes rows from each column.
class RowFilter {
 public:
  explicit RowFilter(const std::vector<bool>& aKeepRow) : mKeepRow(aKeepRow) {}

  template <class T>
  void Sparse(const char*, std::vector<T>& aColumn) {
    std::vector<T> rows;
    for (std::size_t i = 0; i < aColumn.size(); i++) {
      if (mKeepRow[i]) {
        rows.push_back(std::move(aColumn[i]));
      }
    }
    aColumn = std::move(rows);
  }

 private:
  const std::vector<bool>& mKeepRow;
};

}  // namespace

LoadTable UsableRows(const LoadTable& aTable, const InvalidRowHook& aOnBad) {
  LoadTable table = aTable;
  RowCheck check;
  table.Fields(check);
  const std::vector<bool> usable = check.Usable(aOnBad);
  RowFilter filter(usable);
  table.Fields(filter);
  return table;
}

LoadTable ReadLoadTable(const Json::Value& aTable,
                        const InvalidRowHook& aOnBad) {
  LoadTable table;
  LenientColumns columns(aTable);
  table.Fields(columns);
  return UsableRows(table, aOnBad);
}

}  // namespace spindleweir
