#include "quetzalspindle/catalog.h"

namespace qs {

const QueueDeclaration* Catalog::Route(std::string_view host,
                                       std::string_view path) const {
  const QueueDeclaration* best = nullptr;
  for (const QueueDeclaration& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr ||
        queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const QueueDeclaration* Catalog::Find(std::string_view queue) const {
  for (const QueueDeclaration& candidate : queues) {
    if (candidate.name == queue) return &candidate;
  }
  return nullptr;
}

}  // namespace qs
