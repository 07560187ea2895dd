package agent

const (
	// minSlotChange and slotChangeShare bound the changes of the number of slots
	// that are not worth a message: fewer than minSlotChange slots, or than one in
	// slotChangeShare. The number of a leased upstream is an estimate from the mean
	// need of its tasks and varies by one all the time, and every entry and control
	// host would be told.
	minSlotChange   = 2
	slotChangeShare = 8
)

// slotsChanged reports whether a change of the number of slots has to be sent to peers
// that have the number told. Smaller changes go with the next message to a peer.
func slotsChanged(told, slots uint32) bool {
	if told == 0 || slots == 0 {
		return told != slots
	}
	change := max(told, slots) - min(told, slots)
	return change >= max(minSlotChange, told/slotChangeShare)
}
