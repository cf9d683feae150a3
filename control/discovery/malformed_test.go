package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/answers"
)

// scriptedPlatform answers each call, by its number, with a text. The channel over receives a value when the connection of the
// first call has ended.
func scriptedPlatform(t *testing.T, answer func(call int) (text string, closes bool)) (address string, over <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 1)
	go func() {
		call := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					break
				}
				text, closes := answer(call)
				call++
				_, _ = io.WriteString(conn, text)
				if closes {
					break
				}
			}
			_ = conn.Close()
			select {
			case ended <- struct{}{}:
			default:
			}
		}
	}()
	return listener.Addr().String(), ended
}

var onePage = answers.Answer{Status: http.StatusOK, Body: `{"instances":[` + entry + `]}`}

// A list in a malformed answer is no list. The connection is closed, and the next read gets the list again.
func TestMalformedListIsNotRead(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			address, over := scriptedPlatform(t, func(call int) (string, bool) {
				if call == 0 {
					return form.Encode(onePage), false
				}
				return answers.Plain(onePage), false
			})
			reader := NewReader(address)
			defer reader.Close()
			list, _, err := reader.Read(context.Background(), 0)
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "the answer was waited for")
			require.Nil(t, list)
			<-over
			list, _, err = reader.Read(context.Background(), 0)
			require.NoError(t, err)
			require.Len(t, list.Entries, 1)
		})
	}
}

// The rate limit that a malformed answer tells of is not one.
func TestMalformedRateLimitIsNotTaken(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			address, _ := scriptedPlatform(t, func(int) (string, bool) {
				return form.Encode(answers.Answer{Status: http.StatusTooManyRequests, Body: "content"}), false
			})
			reader := NewReader(address)
			defer reader.Close()
			_, _, err := reader.Read(context.Background(), 0)
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrRateLimited)
		})
	}
}

func TestValidListIsRead(t *testing.T) {
	for _, form := range answers.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			address, _ := scriptedPlatform(t, func(int) (string, bool) { return form.Encode(onePage), form.Closes })
			reader := NewReader(address)
			defer reader.Close()
			for range 2 {
				list, _, err := reader.Read(context.Background(), 0)
				require.NoError(t, err)
				require.Len(t, list.Entries, 1)
			}
		})
	}
}

// A second answer to a call is not taken for the answer to the next one, which may be for another page, whether it comes with
// the first or later.
func TestSecondAnswerIsNotTakenForNextPage(t *testing.T) {
	stray := answers.Plain(answers.Answer{Status: http.StatusOK, Body: `{"instances":[]}`})
	for _, later := range []bool{false, true} {
		t.Run(fmt.Sprintf("later %v", later), func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			conns := make(chan net.Conn)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					conns <- conn
				}
			}()
			reader := NewReader(listener.Addr().String())
			defer reader.Close()
			read := func() <-chan int {
				entries := make(chan int, 1)
				go func() {
					list, _, err := reader.Read(context.Background(), 0)
					if err != nil {
						entries <- -1
						return
					}
					entries <- len(list.Entries)
				}()
				return entries
			}
			entries := read()
			first := <-conns
			_, err = http.ReadRequest(bufio.NewReader(first))
			require.NoError(t, err)
			if later {
				_, _ = io.WriteString(first, answers.Plain(onePage))
				require.Equal(t, 1, <-entries)
				_, _ = io.WriteString(first, stray)
			} else {
				_, _ = io.WriteString(first, answers.Plain(onePage)+stray)
				require.Equal(t, 1, <-entries)
			}
			entries = read()
			go func() { // where the first connection is used again
				if _, err := http.ReadRequest(bufio.NewReader(first)); err == nil {
					_, _ = io.WriteString(first, stray)
				}
			}()
			select {
			case second := <-conns:
				_, err = http.ReadRequest(bufio.NewReader(second))
				require.NoError(t, err)
				_, _ = io.WriteString(second, answers.Plain(onePage))
				require.Equal(t, 1, <-entries)
			case count := <-entries:
				t.Errorf("read %d entries on the first connection", count)
			}
		})
	}
}
