package operatorclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
)

// The states of a message.
const (
	MessagePending = "pending"
	MessageDone    = "done"
	MessageDead    = "dead_letter"
)

// Message is the state of a message.
type Message struct {
	State     string `json:"state"`
	Signature string `json:"signature,omitempty"` // of the successful run
}

// Message returns a message's state. The client's addresses must be those of edges; host is the host of the message's
// route.
func (c *Client) Message(ctx context.Context, host, id string) (*Message, error) {
	message := &Message{}
	call := c.get("/v1/message/"+url.PathEscape(id), func(body []byte) error {
		*message = Message{}
		if err := json.Unmarshal(body, message); err != nil {
			return err
		}
		switch message.State {
		case MessagePending, MessageDone, MessageDead:
			return nil
		}
		return fmt.Errorf("operatorclient: unknown message state %q", message.State)
	})
	call.host = host
	return message, c.do(ctx, call)
}

// MessageBody returns the body of a message that is queued or in the dead-letter state.
func (c *Client) MessageBody(ctx context.Context, host, id string) ([]byte, error) {
	var content []byte
	call := c.get("/v1/message-body/"+url.PathEscape(id), func(body []byte) error {
		content = body
		return nil
	})
	call.host = host
	return content, c.do(ctx, call)
}
