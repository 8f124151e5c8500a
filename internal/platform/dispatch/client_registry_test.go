package dispatch

import "testing"

// TestSelectConn checks which client connection is selected for a notification, in particular if the
// preferred connection is closed. It also checks which connection is reported as the only one with a valid
// message.
func TestSelectConn(t *testing.T) {
	withoutValidMessage := clientConn{}
	for _, test := range []struct {
		name          string
		conns         []clientConn // the open connections, with the IDs 1, 2 and so on
		preferredConn ConnID
		want          ConnID // 0 means that no connection is selected
		onlyClient    ConnID // the only connection that has sent a valid message, or 0 if there are none or several
	}{
		{"no connection is open", nil, 1, 0, 0},
		{"no connection has sent a valid message", []clientConn{withoutValidMessage, withoutValidMessage}, 9, 0, 0},
		{"preferred connection is open but has sent no valid message", []clientConn{withoutValidMessage, {lastValidMessageAt: 5}}, 1, 1, 2},
		{"only one connection has sent a valid message", []clientConn{withoutValidMessage, {lastValidMessageAt: 5}, withoutValidMessage}, 9, 2, 2},
		{"connection with the most recently placed task", []clientConn{{lastValidMessageAt: 5, lastPlacedAt: 4}, {lastValidMessageAt: 6, lastPlacedAt: 3}}, 9, 1, 0},
		{"same placement time, connection with the most recent valid message", []clientConn{{lastValidMessageAt: 6, lastPlacedAt: 3}, {lastValidMessageAt: 5, lastPlacedAt: 3}}, 9, 1, 0},
		{"same placement and message times, connection with the highest ID", []clientConn{{lastValidMessageAt: 6}, {lastValidMessageAt: 6}}, 9, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newClientRegistry(&sharedState{})
			for i := range test.conns {
				test.conns[i].id = ConnID(i + 1)
				registry.conns[ConnID(i+1)] = &test.conns[i]
			}

			var selected ConnID
			if conn := registry.selectConn(test.preferredConn); conn != nil {
				selected = conn.id
			}

			if selected != test.want {
				t.Errorf("selected connection %d, want %d", selected, test.want)
			}
			for id := ConnID(0); id <= ConnID(len(test.conns)); id++ {
				if isOnlyClient := registry.isOnlyClient(id); isOnlyClient != (id == test.onlyClient && id != 0) {
					t.Errorf("connection %d: isOnlyClient returned %v, want the opposite", id, isOnlyClient)
				}
			}
		})
	}
}
