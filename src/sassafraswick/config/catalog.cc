#include "sassafraswick/config/catalog.h"

namespace sassafraswick {

catalog_admission AdmitCaller(const catalog& version, std::string_view database,
                              std::string_view key) {
  catalog_admission admission;
  const auto route = version.routes.find(database);
  if (route == version.routes.end()) {
    return admission;
  }
  admission.route = route->second;
  if (route->second.open) {
    admission.verdict = admission_verdict::kAdmitted;
    return admission;
  }
  admission.verdict = admission_verdict::kNotAuthorised;
  const auto owner = version.keys.find(key);
  if (owner == version.keys.end()) {
    return admission;
  }
  const auto organisation = version.organisations.find(owner->second);
  if (organisation != version.organisations.end()) {
    admission.organisation = organisation->second;
    admission.verdict = admission_verdict::kAdmitted;
  }
  return admission;
}

}  // namespace sassafraswick
