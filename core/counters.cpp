#include "spindleweir/core/counters.h"

namespace spindleweir {

namespace {

constexpr std::string_view kPrefix = "spindleweir_";

}  // namespace

Counters::Family& Counters::FamilyOf(std::string_view aName) {
  auto it = mFamilies.find(aName);
  if (it == mFamilies.end()) {
    it = mFamilies.emplace(std::string(aName), Family{}).first;
  }
  return it->second;
}

void Counters::Add(std::string_view aName, std::string_view aLabels,
                   std::int64_t aAmount) {
  Family& family = FamilyOf(aName);
  auto it = family.mValues.find(aLabels);
  if (it == family.mValues.end()) {
    it = family.mValues.emplace(std::string(aLabels), 0).first;
  }
  it->second += aAmount;
}

void Counters::Set(std::string_view aName, std::int64_t aValue) {
  Family& family = FamilyOf(aName);
  family.mGauge = true;
  family.mValues[""] = aValue;
}

std::int64_t Counters::Value(std::string_view aName,
                             std::string_view aLabels) const {
  const auto it = mFamilies.find(aName);
  if (it == mFamilies.end()) {
    return 0;
  }
  const auto value = it->second.mValues.find(aLabels);
  return value == it->second.mValues.end() ? 0 : value->second;
}

std::string Counters::Text() const {
  std::string text;
  for (const auto& [name, family] : mFamilies) {
    std::string full = std::string(kPrefix) + name;
    if (!family.mGauge) {
      full += "_total";
    }
    text += "# TYPE " + full + (family.mGauge ? " gauge\n" : " counter\n");
    for (const auto& [labels, value] : family.mValues) {
      text += full;
      if (!labels.empty()) {
        text += "{" + labels + "}";
      }
      text += " " + std::to_string(value) + "\n";
    }
  }
  return text;
}

}  // namespace spindleweir
