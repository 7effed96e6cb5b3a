#include "spindleweir/core/json_codec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace spindleweir {

namespace {

constexpr int kMaximumDepth = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = false;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaximumDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  builder["emitUTF8"] = true;
  return builder;
}

[[noreturn]] void ThrowType(const std::string& aPath, const char* aType) {
  throw Error(ResultCode::kBadField, aPath + " must be " + aType);
}

}  // namespace

Json::Value ParseJson(std::string_view aText) {
  static const Json::CharReaderBuilder kBuilder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value value;
  std::string message;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value,
                       &message)) {
      throw Error(ResultCode::kMalformedJson, message);
    }
  } catch (const Json::Exception& error) {
    throw Error(ResultCode::kMalformedJson, error.what());
  }
  return value;
}

std::string DumpJson(const Json::Value& aValue) {
  static const Json::StreamWriterBuilder kBuilder = MakeWriterBuilder();
  return Json::writeString(kBuilder, aValue);
}

JsonReader::JsonReader(const Json::Value& aObject, std::string aPath,
                       bool aStrict)
    : mObject(aObject), mPath(std::move(aPath)), mStrict(aStrict) {
  if (!mObject.isObject()) {
    ThrowType(mPath.empty() ? "the body" : mPath, "an object");
  }
}

void JsonReader::RefuseUnknown() const {
  if (!mStrict) {
    return;
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (!mKnown.contains(name)) {
      throw Error(ResultCode::kBadField,
                  PathOf(name.c_str()) + " is not a known field");
    }
  }
}

std::string JsonReader::PathOf(const char* aName) const {
  return mPath.empty() ? aName : mPath + "." + aName;
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      std::string& aOut) const {
  if (!aIn.isString()) {
    ThrowType(aPath, "a string");
  }
  aOut = aIn.asString();
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      bool& aOut) const {
  if (!aIn.isBool()) {
    ThrowType(aPath, "true or false");
  }
  aOut = aIn.asBool();
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      int& aOut) const {
  if (!aIn.isInt()) {
    ThrowType(aPath, "a whole number of 32 bits");
  }
  aOut = aIn.asInt();
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      std::int64_t& aOut) const {
  if (!aIn.isInt64()) {
    ThrowType(aPath, "a whole number");
  }
  aOut = aIn.asInt64();
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      std::uint64_t& aOut) const {
  if (!aIn.isUInt64()) {
    ThrowType(aPath, "a whole number that is not negative");
  }
  aOut = aIn.asUInt64();
}

void JsonReader::Read(const Json::Value& aIn, const std::string& aPath,
                      double& aOut) const {
  if (!aIn.isNumeric()) {
    ThrowType(aPath, "a number");
  }
  aOut = aIn.asDouble();
}

}  // namespace spindleweir
