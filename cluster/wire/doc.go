// Package wire defines the messages that the processes of the system exchange over rpc. They are encoded as msgpack
// arrays in the order of the fields, by code that msgp generates: run go generate after a change.
package wire

//go:generate go run github.com/tinylib/msgp -file methods.go -o methods_gen.go -tests=false
//go:generate go run github.com/tinylib/msgp -file membership.go -o membership_gen.go -tests=false
//go:generate go run github.com/tinylib/msgp -file queue.go -o queue_gen.go -tests=false
