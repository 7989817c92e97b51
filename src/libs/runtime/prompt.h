#pragma once

#include <backends/engineclient.h>
#include <programs/turn.h>

#include <string>
#include <vector>

namespace Runtime {

/// Returns the chat messages of a call: the program's earlier turns that did not fail, then the
/// input. An input that is a JSON array of {"role", "content"} objects is converted to one message
/// per object.
std::vector<Backends::ChatMessage> promptMessages(const Programs::History *history,
                                                  const std::string &input);

} // namespace Runtime
