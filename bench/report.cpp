/// Makes an HTML page with plots from saved measures.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

#include "bench/commands.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kBarWidth = 420;
constexpr int kRowHeight = 22;
constexpr int kTextColumn = 330;

std::string Escaped(const std::string& aText) {
  std::string out;
  for (char byte : aText) {
    if (byte == '<') {
      out += "&lt;";
    } else if (byte == '&') {
      out += "&amp;";
    } else {
      out += byte;
    }
  }
  return out;
}

/// Bars of one measure: a row for each case and variant.
void Plot(const std::string& aName, const std::vector<Measure>& aRows) {
  double most = 0;
  for (const Measure& row : aRows) {
    most = std::max(most, row.mValue);
  }
  const int height = kRowHeight * static_cast<int>(aRows.size()) + 10;
  std::cout << "<h2>" << Escaped(aName) << "</h2>\n<svg width=\""
            << kTextColumn + kBarWidth + 160 << "\" height=\"" << height
            << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  int y = 0;
  for (const Measure& row : aRows) {
    const int width =
        most > 0
            ? static_cast<int>(std::max(0.0, row.mValue) / most * kBarWidth)
            : 0;
    const bool ours = row.mVariant == "ours";
    std::cout << "<text x=\"0\" y=\"" << y + 15 << "\">"
              << Escaped(row.mCase + ", " + row.mVariant) << "</text><rect x=\""
              << kTextColumn << "\" y=\"" << y + 3 << "\" width=\"" << width
              << "\" height=\"" << kRowHeight - 6 << "\" fill=\""
              << (ours ? "#2a6fb0" : "#b0b0b0") << "\"/><text x=\""
              << kTextColumn + width + 6 << "\" y=\"" << y + 15 << "\">"
              << row.mValue << " " << Escaped(row.mUnit) << "</text>\n";
    y += kRowHeight;
  }
  std::cout << "</svg>\n";
}

}  // namespace

void MakeReport(const std::vector<std::string>& aFiles) {
  std::map<std::string, std::vector<Measure>> byName;
  for (const std::string& file : aFiles) {
    std::ifstream in(file);
    if (!in) {
      throw Error(ResultCode::kBadSetting, "cannot read " + file);
    }
    for (std::string line; std::getline(in, line);) {
      if (!line.empty()) {
        const auto row = FromJson<Measure>(ParseJson(line));
        byName[row.mMeasure].push_back(row);
      }
    }
  }
  std::cout << "<!DOCTYPE html><html><head><meta charset=\"utf-8\">"
               "<title>spindleweir measures</title></head><body>\n";
  for (const auto& [name, rows] : byName) {
    Plot(name, rows);
  }
  std::cout << "</body></html>\n";
}

}  // namespace spindleweir
