#include "spindleweir/core/settings.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr std::string_view kEnvironmentPrefix = "SPINDLEWEIR_";
constexpr int kExitUsage = 2;
constexpr int kMaxPort = 65535;

/// Whether the program defines the flag, not gflags.
bool IsProgramFlag(const std::string& aName,
                   gflags::CommandLineFlagInfo* aInfo) {
  return gflags::GetCommandLineFlagInfo(aName.c_str(), aInfo) &&
         aInfo->filename.find("_main.cpp") != std::string::npos;
}

void SetFlag(const std::string& aName, const std::string& aValue,
             const std::string& aShownName) {
  gflags::CommandLineFlagInfo info;
  if (!IsProgramFlag(aName, &info)) {
    throw Error(ResultCode::kUnknownSetting,
                aShownName + " is not a known setting");
  }
  if (gflags::SetCommandLineOption(aName.c_str(), aValue.c_str()).empty()) {
    throw Error(ResultCode::kBadSetting, aShownName + " must be of type " +
                                             info.type + ", not \"" + aValue +
                                             "\"");
  }
}

void LoadEnvironment() {
  for (char** entry = environ; *entry != nullptr; entry++) {
    const std::string_view text(*entry);
    if (!text.starts_with(kEnvironmentPrefix)) {
      continue;
    }
    const std::size_t equals = text.find('=');
    const std::string shownName(text.substr(0, equals));
    std::string name = shownName.substr(kEnvironmentPrefix.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char aChar) { return std::tolower(aChar); });
    SetFlag(name, std::string(text.substr(equals + 1)), shownName);
  }
}

}  // namespace

std::string Endpoint::Text() const {
  return mHost + ":" + std::to_string(mPort);
}

Endpoint ParseEndpoint(std::string_view aText, std::string_view aSetting) {
  const std::size_t colon = aText.rfind(':');
  Endpoint endpoint;
  bool valid = colon != std::string_view::npos && colon > 0;
  if (valid) {
    endpoint.mHost = aText.substr(0, colon);
    const std::string_view port = aText.substr(colon + 1);
    const auto [end, ec] =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.mPort);
    valid = ec == std::errc() && end == port.data() + port.size() &&
            endpoint.mPort >= 0 && endpoint.mPort <= kMaxPort;
  }
  if (!valid) {
    throw Error(ResultCode::kBadSetting, std::string(aSetting) +
                                             " must be IP:PORT, not \"" +
                                             std::string(aText) + "\"");
  }
  return endpoint;
}

std::vector<std::string> SplitList(std::string_view aText) {
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t n = std::min(aText.find(','), aText.size());
    if (n > 0) {
      parts.emplace_back(aText.substr(0, n));
    }
    aText.remove_prefix(std::min(n + 1, aText.size()));
  }
  return parts;
}

void RequireSetting(std::string_view aValue, std::string_view aSetting) {
  if (aValue.empty()) {
    throw Error(ResultCode::kMissingSetting,
                std::string(aSetting) + " is required");
  }
}

void RequireRange(double aValue, double aMin, double aMax,
                  std::string_view aSetting) {
  if (aValue < aMin || aValue > aMax) {
    std::ostringstream text;
    text << std::setprecision(12) << aSetting << " must be between " << aMin
         << " and " << aMax;
    throw Error(ResultCode::kBadSetting, text.str());
  }
}

std::vector<std::string> LoadSettings(int aArgc, char** aArgv) {
  LoadEnvironment();
  std::vector<std::string> positional;
  for (int i = 1; i < aArgc; i++) {
    const std::string argument = aArgv[i];
    if (!argument.starts_with("--")) {
      positional.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    std::string name = argument.substr(2, equals - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    const std::string shownName = argument.substr(0, equals);
    gflags::CommandLineFlagInfo info;
    if (equals != std::string::npos) {
      SetFlag(name, argument.substr(equals + 1), shownName);
    } else if (IsProgramFlag(name, &info) && info.type == "bool") {
      SetFlag(name, "true", shownName);
    } else if (IsProgramFlag(name, &info) && i + 1 < aArgc) {
      SetFlag(name, aArgv[++i], shownName);
    } else {
      SetFlag(name, "", shownName);
    }
  }
  return positional;
}

int RunProgram(
    int aArgc, char** aArgv, const std::string& aUsage,
    const std::function<int(const std::vector<std::string>&)>& aRun) {
  gflags::SetUsageMessage(aUsage);
  for (int i = 1; i < aArgc; i++) {
    if (std::string_view(aArgv[i]) == "--help") {
      gflags::ShowUsageWithFlagsRestrict(aArgv[0], "_main.cpp");
      return 0;
    }
  }
  try {
    return aRun(LoadSettings(aArgc, aArgv));
  } catch (const Error& error) {
    std::cerr << Describe(error) << "\n";
    return kExitUsage;
  }
}

}  // namespace spindleweir
