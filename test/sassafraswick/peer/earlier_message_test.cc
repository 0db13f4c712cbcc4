#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/text_format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "sassafraswick/peer/message.pb.h"

/// @file
/// Hosts of this build and of earlier ones exchange messages during an upgrade
/// and a rollback. `test/golden/earlier_messages.txt` describes the messages as
/// earlier builds know them.

namespace sassafraswick {
namespace {

namespace protobuf = google::protobuf;

/// Messages as earlier builds parse and write them.
class earlier_messages {
 public:
  earlier_messages() {
    const std::ifstream file(std::string(SASSAFRASWICK_SOURCE_DIR) +
                             "/test/golden/earlier_messages.txt");
    std::ostringstream text;
    text << file.rdbuf();
    protobuf::FileDescriptorProto description;
    REQUIRE(protobuf::TextFormat::ParseFromString(text.str(), &description));
    file_ = pool_.BuildFile(description);
    REQUIRE(file_ != nullptr);
  }

  [[nodiscard]] const protobuf::FileDescriptor& File() const { return *file_; }

  [[nodiscard]] std::unique_ptr<protobuf::Message> MakeEnvelope() {
    return std::unique_ptr<protobuf::Message>(
        factory_.GetPrototype(file_->FindMessageTypeByName("envelope"))->New());
  }

 private:
  protobuf::DescriptorPool pool_;
  protobuf::DynamicMessageFactory factory_{&pool_};
  const protobuf::FileDescriptor* file_ = nullptr;
};

const protobuf::FileDescriptor& CurrentFile() {
  return *message::envelope::descriptor()->file();
}

void SetValue(protobuf::Message& target,
              const protobuf::FieldDescriptor& field);

/// Sets all fields, or one field of each `oneof`.
void Fill(protobuf::Message& target) {
  const protobuf::Descriptor& type = *target.GetDescriptor();
  for (int i = 0; i < type.field_count(); ++i) {
    if (type.field(i)->containing_oneof() == nullptr) {
      SetValue(target, *type.field(i));
    }
  }
}

void SetValue(protobuf::Message& target,
              const protobuf::FieldDescriptor& field) {
  const protobuf::Reflection& access = *target.GetReflection();
  const bool repeated = field.is_repeated();
  switch (field.cpp_type()) {
    case protobuf::FieldDescriptor::CPPTYPE_MESSAGE:
      Fill(repeated ? *access.AddMessage(&target, &field)
                    : *access.MutableMessage(&target, &field));
      break;
    case protobuf::FieldDescriptor::CPPTYPE_STRING:
      repeated ? access.AddString(&target, &field, "text")
               : access.SetString(&target, &field, "text");
      break;
    case protobuf::FieldDescriptor::CPPTYPE_UINT64:
      access.SetUInt64(&target, &field, 1ULL << 40U);
      break;
    case protobuf::FieldDescriptor::CPPTYPE_UINT32:
      access.SetUInt32(&target, &field, 7);
      break;
    case protobuf::FieldDescriptor::CPPTYPE_INT64:
      access.SetInt64(&target, &field, -7);
      break;
    case protobuf::FieldDescriptor::CPPTYPE_DOUBLE:
      access.SetDouble(&target, &field, 0.25);
      break;
    case protobuf::FieldDescriptor::CPPTYPE_BOOL:
      access.SetBool(&target, &field, true);
      break;
    default:
      FAIL("no value for a field of " << field.full_name());
  }
}

/// Name of the body of an envelope; empty if it has none that its build knows.
std::string BodyName(const protobuf::Message& envelope) {
  const protobuf::FieldDescriptor* const body =
      envelope.GetReflection()->GetOneofFieldDescriptor(
          envelope, envelope.GetDescriptor()->FindOneofByName("body"));
  return body == nullptr ? std::string() : body->name();
}

TEST_CASE("fields that earlier builds know keep number and type",
          "[peer][earlier]") {
  const earlier_messages earlier;
  for (int i = 0; i < earlier.File().message_type_count(); ++i) {
    const protobuf::Descriptor& type = *earlier.File().message_type(i);
    const protobuf::Descriptor* const current =
        CurrentFile().FindMessageTypeByName(type.name());
    INFO("message " << type.name());
    REQUIRE(current != nullptr);
    for (int j = 0; j < type.field_count(); ++j) {
      const protobuf::FieldDescriptor& field = *type.field(j);
      const protobuf::FieldDescriptor* const kept =
          current->FindFieldByNumber(field.number());
      INFO("field " << field.name());
      REQUIRE(kept != nullptr);
      CHECK(kept->name() == field.name());
      CHECK(kept->type() == field.type());
      CHECK(kept->label() == field.label());
    }
  }
}

TEST_CASE("this build reads all that earlier builds write", "[peer][earlier]") {
  earlier_messages earlier;
  const protobuf::OneofDescriptor& bodies =
      *earlier.MakeEnvelope()->GetDescriptor()->FindOneofByName("body");
  for (int i = 0; i < bodies.field_count(); ++i) {
    const std::unique_ptr<protobuf::Message> sent = earlier.MakeEnvelope();
    Fill(*sent);
    SetValue(*sent, *bodies.field(i));
    message::envelope received;
    INFO("body " << bodies.field(i)->name());
    REQUIRE(received.ParseFromString(sent->SerializeAsString()));
    CHECK(BodyName(received) == bodies.field(i)->name());
    CHECK(received.DebugString() == sent->DebugString());
  }
}

TEST_CASE("earlier builds read the header of messages that they do not know",
          "[peer][earlier]") {
  earlier_messages earlier;
  const protobuf::Descriptor& known = *earlier.MakeEnvelope()->GetDescriptor();
  const protobuf::OneofDescriptor& bodies =
      *message::envelope::descriptor()->FindOneofByName("body");
  for (int i = 0; i < bodies.field_count(); ++i) {
    const protobuf::FieldDescriptor& body = *bodies.field(i);
    message::envelope sent;
    Fill(sent);
    SetValue(sent, body);
    const std::unique_ptr<protobuf::Message> received = earlier.MakeEnvelope();
    INFO("body " << body.name());
    REQUIRE(received->ParseFromString(sent.SerializeAsString()));
    const bool is_known = known.FindFieldByNumber(body.number()) != nullptr;
    CHECK(BodyName(*received) == (is_known ? body.name() : std::string()));
    CHECK(received->GetReflection()->GetString(
              *received, known.FindFieldByName("host")) == "text");
    CHECK(received->GetReflection()->GetUInt64(
              *received, known.FindFieldByName("store_era")) == 1ULL << 40U);
  }
}

TEST_CASE("bodies and fields of later builds are ignored", "[peer][earlier]") {
  // Field 99 = 5, and field 900 = "x", neither of which is known.
  const std::string later =
      std::string("\x0a\x01") + "a\x98\x06\x05" + "\xa2\x38\x01x\x28\x09";
  message::envelope received;
  REQUIRE(received.ParseFromString(later));
  CHECK(received.host() == "a");
  CHECK(received.configuration_version() == 9);
  CHECK(received.body_case() == message::envelope::BODY_NOT_SET);
}

}  // namespace
}  // namespace sassafraswick
