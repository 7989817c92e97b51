#pragma once

#include "httpclient.h"

namespace Backends {

/// The error of an exchange that did not complete; Error::ran states whether it may have run.
Base::Error toError(const HttpOutcome &outcome, const Base::ServerId &server);

} // namespace Backends
