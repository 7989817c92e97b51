#pragma once

#include <backends/engineclient.h>
#include <programs/turn.h>

#include <string>
#include <vector>

namespace Runtime {

/// The chat messages of a call: the program's earlier turns without error, then the input.
/// An input that is a JSON array of {"role", "content"} stands for several messages.
std::vector<Backends::ChatMessage> promptMessages(const Programs::History *history,
                                                  const std::string &input);

} // namespace Runtime
