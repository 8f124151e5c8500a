package dispatch

import "testing"

// TestSelectClient checks on which connection a notification is sent if its own connection is closed, and
// which connection counts as the only one that has sent a valid message.
func TestSelectClient(t *testing.T) {
	silent := clientConn{}
	for _, test := range []struct {
		name      string
		conns     []clientConn // the IDs are 1, 2, ...
		preferred ConnID
		want      ConnID // 0 means that no connection is selected
		only      ConnID // the only connection that has sent a valid message, 0 for none
	}{
		{"no connection", nil, 1, 0, 0},
		{"no connection has sent a valid message", []clientConn{silent, silent}, 9, 0, 0},
		{"preferred connection, although silent", []clientConn{silent, {lastValidMessageAt: 5}}, 1, 1, 2},
		{"the only connection with a valid message", []clientConn{silent, {lastValidMessageAt: 5}, silent}, 9, 2, 2},
		{"connection with the most recently placed task", []clientConn{{lastValidMessageAt: 5, lastPlacedAt: 4}, {lastValidMessageAt: 6, lastPlacedAt: 3}}, 9, 1, 0},
		{"same placement time, most recent valid message", []clientConn{{lastValidMessageAt: 6, lastPlacedAt: 3}, {lastValidMessageAt: 5, lastPlacedAt: 3}}, 9, 1, 0},
		{"same times, newest connection", []clientConn{{lastValidMessageAt: 6}, {lastValidMessageAt: 6}}, 9, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newClientRegistry(&sharedState{})
			for i := range test.conns {
				test.conns[i].id = ConnID(i + 1)
				registry.conns[ConnID(i+1)] = &test.conns[i]
			}

			var selected ConnID
			if conn := registry.selectConn(test.preferred); conn != nil {
				selected = conn.id
			}

			if selected != test.want {
				t.Errorf("selected connection %d, want %d", selected, test.want)
			}
			for id := ConnID(0); id <= ConnID(len(test.conns)); id++ {
				if only := registry.isOnlyClient(id); only != (id == test.only && id != 0) {
					t.Errorf("connection %d is reported as the only one with a valid message: %v", id, only)
				}
			}
		})
	}
}
