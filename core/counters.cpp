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

void Counters::Observe(std::string_view aName, std::int64_t aValue) {
  auto it = mHistograms.find(aName);
  if (it == mHistograms.end()) {
    it = mHistograms.emplace(std::string(aName), Histogram{}).first;
  }
  Histogram& histogram = it->second;
  std::size_t bucket = 0;
  while (bucket + 1 < histogram.mBuckets.size() &&
         aValue > (std::int64_t{1} << bucket)) {
    bucket++;
  }
  histogram.mBuckets[bucket]++;
  histogram.mSum += aValue;
  histogram.mCount++;
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
  for (const auto& [name, histogram] : mHistograms) {
    const std::string full = std::string(kPrefix) + name;
    text += "# TYPE " + full + " histogram\n";
    std::int64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram.mBuckets.size(); i++) {
      const bool isLast = i + 1 == histogram.mBuckets.size();
      cumulative += histogram.mBuckets[i];
      text += full + "_bucket{le=\"" +
              (isLast ? "+Inf" : std::to_string(std::int64_t{1} << i)) +
              "\"} " + std::to_string(cumulative) + "\n";
    }
    text += full + "_sum " + std::to_string(histogram.mSum) + "\n";
    text += full + "_count " + std::to_string(histogram.mCount) + "\n";
  }
  return text;
}

}  // namespace spindleweir
