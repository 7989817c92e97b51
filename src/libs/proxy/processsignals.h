#pragma once

namespace Proxy {

/// Defers SIGTERM, SIGINT and SIGHUP from the start of the process until its handlers are set. Must
/// be called before other threads start, as these inherit it.
void deferSignals();
/// Delivers the deferred signals to the calling thread, and all later ones at once.
void deliverSignals();

} // namespace Proxy
