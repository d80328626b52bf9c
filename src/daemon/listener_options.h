#pragma once

#include "http/http_server.h"

namespace qs {

struct Kernel;

// Options of an EventHttpServer of this process, with the limits of its
// settings. The address is to be set.
HttpServerOptions ListenerOptions(Kernel* kernel);

// Limits the bodies of an HttpServer to the process's part of the memory, or
// to one body of `max_body_bytes` at a time beside ordinary ones.
void LimitBodies(const Kernel& kernel, HttpServerOptions* options);

}  // namespace qs
