// Package hollow measures what the control plane costs as the fleet grows. A hollow scheduler is the real member agent and the real
// relay node of a scheduler, without clients, messages and workers; thousands of them run in one process, on loopback addresses of
// their own. The leader's real service runs in another process, so that the two costs are told apart.
package hollow
