package dispatch

import "testing"

// TestSelectClient: on which connection a notification is sent whose own connection is closed, and which one is the only identified one.
func TestSelectClient(t *testing.T) {
	unidentified := clientConn{}
	for _, test := range []struct {
		name      string
		conns     []clientConn // their IDs are 1, 2, ...
		preferred ConnID
		want      ConnID // 0 for none
		only      ConnID // the one that is the only one identified, 0 for none
	}{
		{"no connection", nil, 1, 0, 0},
		{"none has sent a valid message", []clientConn{unidentified, unidentified}, 9, 0, 0},
		{"the preferred one, though unidentified", []clientConn{unidentified, {lastValidMessageAt: 5}}, 1, 1, 2},
		{"the one identified", []clientConn{unidentified, {lastValidMessageAt: 5}, unidentified}, 9, 2, 2},
		{"the last that had a task placed", []clientConn{{lastValidMessageAt: 5, lastPlacedAt: 4}, {lastValidMessageAt: 6, lastPlacedAt: 3}}, 9, 1, 0},
		{"then the last that sent a valid message", []clientConn{{lastValidMessageAt: 6, lastPlacedAt: 3}, {lastValidMessageAt: 5, lastPlacedAt: 3}}, 9, 1, 0},
		{"then the newest", []clientConn{{lastValidMessageAt: 6}, {lastValidMessageAt: 6}}, 9, 2, 0},
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
				t.Errorf("selected %d, want %d", selected, test.want)
			}
			for id := ConnID(0); id <= ConnID(len(test.conns)); id++ {
				if only := registry.isOnlyClient(id); only != (id == test.only && id != 0) {
					t.Errorf("connection %d is the only one identified: %v", id, only)
				}
			}
		})
	}
}
