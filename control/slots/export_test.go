package slots

// Faults are the mistakes that tests may make.
var Faults = &faults
