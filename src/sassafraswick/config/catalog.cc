#include "sassafraswick/config/catalog.h"

namespace sassafraswick {

catalog_admission AdmitCaller(const catalog& current, std::string_view database,
                              std::string_view key) {
  catalog_admission admission;
  const auto route = current.routes.find(database);
  if (route == current.routes.end()) {
    return admission;
  }
  admission.route = route->second;
  if (route->second.open) {
    admission.verdict = admission_verdict::kAdmitted;
    return admission;
  }
  admission.verdict = admission_verdict::kNotAuthorised;
  const auto owner = current.keys.find(key);
  if (owner == current.keys.end()) {
    return admission;
  }
  const auto organisation = current.organisations.find(owner->second);
  if (organisation != current.organisations.end()) {
    admission.organisation = organisation->second;
    admission.verdict = admission_verdict::kAdmitted;
  }
  return admission;
}

}  // namespace sassafraswick
