package slots

// faults are mistakes that tests make on purpose, to see that they would be caught.
var faults struct {
	TrustTorn   bool // a slot that was cut short counts
	ForgetDoubt bool // the newest slot counts as lasting, though it could not be synced
	KeepGhosts  bool // a slot that is not good is not cleared
}
