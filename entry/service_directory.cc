#include "entry/service_directory.h"

#include <utility>

namespace rattanramp::entry {

std::shared_ptr<const Service> ServiceDirectory::Find(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const Service>> ServiceDirectory::LanguageServices(
    const std::string& model) const {
  std::vector<std::shared_ptr<const Service>> matches;
  for (const auto& [name, service] : services) {
    if (service->settings.kind == "language" &&
        (model.empty() || service->settings.model == model)) {
      matches.push_back(service);
    }
  }
  return matches;
}

std::shared_ptr<const ServiceDirectory> BuildDirectory(const control::VersionedSettings& settings,
                                                       const std::string& failure_domain) {
  std::shared_ptr<ServiceDirectory> directory = std::make_shared<ServiceDirectory>();
  directory->version = settings.version;
  directory->process = settings.tree.Resolve("", failure_domain, "");
  for (const std::string& name : settings.tree.services()) {
    // The model is itself a setting, so it is resolved first. The second Resolve also applies the
    // values that are set for this model.
    const std::string model = settings.tree.Resolve(name, failure_domain, "").model;
    directory->services[name] = std::make_shared<Service>(
        Service{name, settings.tree.Resolve(name, failure_domain, model)});
  }
  return directory;
}

DirectoryCache::DirectoryCache(const control::SettingsReplica& replica, std::string failure_domain)
    : replica_(replica), failure_domain_(std::move(failure_domain)) {}

std::shared_ptr<const ServiceDirectory> DirectoryCache::current() {
  const std::shared_ptr<const control::VersionedSettings> settings = replica_.current();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!directory_ || directory_->version < settings->version) {
    directory_ = BuildDirectory(*settings, failure_domain_);
  }
  return directory_;
}

}  // namespace rattanramp::entry
