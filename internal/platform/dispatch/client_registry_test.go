package dispatch

import "testing"

// TestSelectConn checks which client connection is selected for a notification, in particular if the
// preferred connection is closed. It also checks for which connection isOnlyClient returns true.
func TestSelectConn(t *testing.T) {
	connWithoutValidMessage := clientConn{}
	for _, test := range []struct {
		name          string
		conns         []clientConn // conns contains the open connections. Their IDs are 1, 2 and so on.
		preferredConn ConnID
		wantConn      ConnID // wantConn is the connection that selectConn must return, or 0 for none.
		onlyClient    ConnID // onlyClient is the only connection with a valid message, or 0 if there is none.
	}{
		{"no client connection is open", nil, 1, 0, 0},
		{"no valid message has arrived on any client connection", []clientConn{connWithoutValidMessage, connWithoutValidMessage}, 9, 0, 0},
		{"preferred client connection is open but no valid message has arrived on it", []clientConn{connWithoutValidMessage, {lastValidMessageAt: 5}}, 1, 1, 2},
		{"a valid message has arrived on only one client connection", []clientConn{connWithoutValidMessage, {lastValidMessageAt: 5}, connWithoutValidMessage}, 9, 2, 2},
		{"client connection with the most recently placed task is selected", []clientConn{{lastValidMessageAt: 5, lastPlacedAt: 4}, {lastValidMessageAt: 6, lastPlacedAt: 3}}, 9, 1, 0},
		{"client connection with the most recent valid message is selected if the placement times are equal", []clientConn{{lastValidMessageAt: 6, lastPlacedAt: 3}, {lastValidMessageAt: 5, lastPlacedAt: 3}}, 9, 1, 0},
		{"client connection with the highest ID is selected if the placement times and the message times are equal", []clientConn{{lastValidMessageAt: 6}, {lastValidMessageAt: 6}}, 9, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newClientRegistry(&sharedState{})
			for i := range test.conns {
				test.conns[i].id = ConnID(i + 1)
				registry.conns[ConnID(i+1)] = &test.conns[i]
			}

			var selectedConn ConnID
			if conn := registry.selectConn(test.preferredConn); conn != nil {
				selectedConn = conn.id
			}

			if selectedConn != test.wantConn {
				t.Errorf("selectConn returned connection %d, want connection %d (0 means no connection)", selectedConn, test.wantConn)
			}
			for id := ConnID(0); id <= ConnID(len(test.conns)); id++ {
				if isOnlyClient := registry.isOnlyClient(id); isOnlyClient != (id == test.onlyClient && id != 0) {
					t.Errorf("isOnlyClient returned %v for client connection %d; want true if and only if it is the only connection on which a valid message arrived", isOnlyClient, id)
				}
			}
		})
	}
}
