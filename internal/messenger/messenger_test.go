package messenger

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

const testTimeout = 200 * time.Millisecond

// echoHandler answers each message with values from the message.
type echoHandler struct{}

func (echoHandler) Heartbeat(_ context.Context, message Heartbeat) (Heartbeat, error) {
	return message, nil
}

func (echoHandler) Reserve(_ context.Context, message ReserveRequest) (ReserveAnswer, error) {
	return ReserveAnswer{
		Granted: message.Tokens > 0,
		Epoch:   message.Epoch,
	}, nil
}

func (echoHandler) Release(context.Context, ReleaseRequest) error {
	return nil
}

func (echoHandler) FetchBundle(_ context.Context, message FetchBundleRequest) (roller.Signed, error) {
	return roller.Signed{
		Sequence: message.Sequence,
		Content:  roller.Compressed("{}"),
	}, nil
}

func (echoHandler) FetchDeparture(_ context.Context, message FetchDepartureRequest) (FetchDepartureAnswer, error) {
	return FetchDepartureAnswer{
		Version: message.Version,
	}, nil
}

func (echoHandler) Confirm(_ context.Context, message ConfirmRequest) (ConfirmAnswer, error) {
	return ConfirmAnswer{
		Unknown: message.Requests,
	}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func serve(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = Serve(ctx, listener, echoHandler{}, &ByteCounters{}) }()
	return listener.Addr().String()
}

func wantPeerError(t *testing.T, err error, wantSent bool) {
	t.Helper()
	var peer *PeerError
	if !errors.As(err, &peer) {
		t.Fatalf("got %v, want a PeerError", err)
	}
	if peer.Sent != wantSent {
		t.Errorf("got sent %v, want %v", peer.Sent, wantSent)
	}
}

// Guards against fields that are lost in encoding, and against bytes that are not counted.
func TestMessages(t *testing.T) {
	counters := &ByteCounters{}
	client := NewClient(counters)
	defer client.Close()
	address := serve(t)
	heartbeat, err := client.Heartbeat(context.Background(), address, Heartbeat{
		Sender: namer.Holder{
			Instance:    "entry-1",
			Incarnation: "a",
		},
		Number:  7,
		Adopted: 5,
		Heard: map[namer.Holder]int64{
			{Instance: "entry-2", Incarnation: "b"}: 3,
		},
	})
	if err != nil || heartbeat.Number != 7 || heartbeat.Adopted != 5 || len(heartbeat.Heard) != 1 || heartbeat.Sender.Instance != "entry-1" {
		t.Errorf("got %+v, %v", heartbeat, err)
	}
	answer, err := client.Reserve(context.Background(), address, ReserveRequest{
		Tokens: 1,
		Epoch:  4,
	})
	if err != nil || !answer.Granted || answer.Epoch != 4 {
		t.Errorf("got %+v, %v", answer, err)
	}
	signed, err := client.FetchBundle(context.Background(), address, FetchBundleRequest{
		Sequence: 9,
	})
	if err != nil || signed.Sequence != 9 || string(signed.Content) != "{}" {
		t.Errorf("got %+v, %v", signed, err)
	}
	if counters.Sent.Load() == 0 || counters.Received.Load() == 0 {
		t.Error("no bytes were counted")
	}
}

// Guards against an error that reports a message as possibly sent although no connection was opened.
func TestNoPeer(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_ = listener.Close()
	_, err := NewClient(&ByteCounters{}).Heartbeat(context.Background(), address, Heartbeat{})
	wantPeerError(t, err, false)
}

// Guards against reusing a connection on which no answer came, although a new connection would work.
func TestSilentConnection(t *testing.T) {
	listener := listen(t)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := NewClient(&ByteCounters{})
	defer client.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := client.Heartbeat(ctx, listener.Addr().String(), Heartbeat{})
		cancel()
		wantPeerError(t, err, true)
	}
	if got := len(accepted); got != 2 {
		t.Errorf("got %d connections, want a new one after the silent one", got)
	}
}
