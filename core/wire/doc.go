// Package wire holds the messages that the processes of one fleet exchange.
//
// On a link, each yamux stream carries one Call, which Acknowledge and Cancel may follow, and the Reply
// messages to it. Each message is prefixed by its length as a varint (the protodelim
// framing of the protobuf module). A UDP datagram is one Probe or one Heartbeat. The
// generated code is committed; `go generate` needs protoc and is not part of the build.
package wire

//go:generate sh -c "GOBIN=$PWD/../../.bin go install google.golang.org/protobuf/cmd/protoc-gen-go && PATH=$PWD/../../.bin:$PATH protoc --go_out=. --go_opt=paths=source_relative wire.proto"
