#pragma once

namespace Greengage {

/// Bounds what the kernel holds unread of each connection that is accepted on a listening socket from now on. A failure
/// is logged.
void limitReceiveBuffers(int listeningSocket);

} // namespace Greengage
