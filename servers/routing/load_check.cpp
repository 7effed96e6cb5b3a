#include "servers/routing/load_check.h"

#include <algorithm>

#include "spindleweir/core/loose_columns.h"

namespace spindleweir {

namespace {

/// Goes over the columns of a table, whichever it has. A column that is empty
/// stands for zeros.
class RowCheck {
 public:
  void Sparse(const char*, std::vector<std::string>& aNames) {
    mNames = &aNames;
    mRows = aNames.size();
    mAny = mRows;
  }
  template <class T>
  void Sparse(const char*, std::vector<T>& aNumbers) {
    if (aNumbers.empty()) {
      return;
    }
    mRows = std::min(mRows, aNumbers.size());
    mAny = std::max(mAny, aNumbers.size());
    mIsBad.push_back(
        [&aNumbers](std::size_t aRow) { return aNumbers[aRow] < 0; });
  }

  /// Whether each row can be used.
  std::vector<bool> Usable(const BadRowHook& aOnBad) const {
    std::vector<bool> usable(mAny, false);
    for (std::size_t i = 0; i < mAny; i++) {
      try {
        Require(i);
        usable[i] = true;
      } catch (const Error& error) {
        aOnBad(i < mNames->size() ? (*mNames)[i] : "", error);
      }
    }
    return usable;
  }

 private:
  void Require(std::size_t aRow) const {
    if (aRow >= mRows) {
      throw Error(ResultCode::kBadField, "a column has no such row");
    }
    RequireInstance((*mNames)[aRow]);
    const bool bad =
        std::any_of(mIsBad.begin(), mIsBad.end(),
                    [aRow](const auto& aIsBad) { return aIsBad(aRow); });
    if (bad) {
      throw Error(ResultCode::kBadField, "a load must not be negative");
    }
  }

  const std::vector<std::string>* mNames = nullptr;
  std::size_t mRows = 0;
  std::size_t mAny = 0;
  std::vector<std::function<bool(std::size_t)>> mIsBad;
};

/// Keeps some rows of each column.
class RowCut {
 public:
  explicit RowCut(const std::vector<bool>& aKept) : mReportRetention(aKept) {}

  template <class T>
  void Sparse(const char*, std::vector<T>& aColumn) {
    std::vector<T> kept;
    for (std::size_t i = 0; i < aColumn.size(); i++) {
      if (mReportRetention[i]) {
        kept.push_back(std::move(aColumn[i]));
      }
    }
    aColumn = std::move(kept);
  }

 private:
  const std::vector<bool>& mReportRetention;
};

}  // namespace

LoadTable UsableRows(const LoadTable& aTable, const BadRowHook& aOnBad) {
  LoadTable table = aTable;
  RowCheck check;
  table.Fields(check);
  const std::vector<bool> usable = check.Usable(aOnBad);
  RowCut cut(usable);
  table.Fields(cut);
  return table;
}

LoadTable ReadLoadTable(const Json::Value& aTable, const BadRowHook& aOnBad) {
  LoadTable table;
  LooseColumns columns(aTable);
  table.Fields(columns);
  return UsableRows(table, aOnBad);
}

}  // namespace spindleweir
