// Package wire holds the messages that the processes of one fleet exchange.
//
// Over a link every yamux stream carries one Call and its Reply messages, each
// prefixed by its length as a varint (the protodelim framing of the protobuf
// module). Over UDP one datagram is one Probe. The generated code is committed;
// `go generate` needs protoc and is not part of the build.
package wire

//go:generate sh -c "GOBIN=$PWD/../../.bin go install google.golang.org/protobuf/cmd/protoc-gen-go && PATH=$PWD/../../.bin:$PATH protoc --go_out=. --go_opt=paths=source_relative wire.proto"
