package simconfig

// settings holds the keys of the settings that are used; others are skipped. Its names are those of the keys, and names
// that end in S are in seconds.
type settings struct {
	Discovery string `json:"discovery"`
	Extra     struct {
		AdmitMemory float64   `json:"admitMemory"`
		ApartBy     []string  `json:"apartBy"`
		Bound       bool      `json:"bound"`
		ClassKind   []int     `json:"classKind"`
		CoresByKind []float64 `json:"coresByKind"`
		Counts      string    `json:"counts"`
		CPUBooking  float64   `json:"cpuBooking"`
		FadesOver   []float64 `json:"fadesOver"`
		FreeInList  bool      `json:"freeInList"`
		FullUpTo    []float64 `json:"fullUpTo"`
		KindMemory  []float64 `json:"kindMemory"`
		Precedence  []int     `json:"precedence"`
		PushesOut   bool      `json:"pushesOut"`
		QuotaCores  []float64 `json:"quotaCores"`
		SaysYes     string    `json:"saysYes"`
		StartBonusS []float64 `json:"startBonusS"`
		TogetherMax []int     `json:"togetherMax"`
		YoungLimit  float64   `json:"youngLimit"`
		CheckAfterS float64   `json:"checkAfterS"`
	} `json:"extra"`
	Flavors []string `json:"flavors"`
	RoundS  float64  `json:"roundS"`
	Zones   []string `json:"zones"`
	Lanes   []struct {
		Effect     string  `json:"effect"`
		HardLimitS float64 `json:"hardLimitS"`
		KeyScope   string  `json:"keyScope"`
		KeyTTLS    float64 `json:"keyTtlS"`
		LateValue  float64 `json:"lateValue"`
		ObjectiveS float64 `json:"objectiveS"`
		Worth      float64 `json:"worth"`
		Name       string  `json:"name"`
	} `json:"lanes"`
	LoadReport struct {
		Fields []string `json:"fields"`
	} `json:"loadReport"`
	Me     int `json:"me"`
	MyZone int `json:"myZone"`
	Orgs   []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"orgs"`
	OverShareWorth float64 `json:"overShareWorth"`
	PeersTotal     int     `json:"peersTotal"`
	Permissions    struct {
		ConnIdleS       float64 `json:"connIdleS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		MostTries       int     `json:"mostTries"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"permissions"`
	Tariffs struct {
		Cross float64 `json:"crossZone"`
		Fleet float64 `json:"fleet"`
		Moves float64 `json:"moves"`
	} `json:"tariffs"`
	Rules struct {
		AnswerSlackS   float64 `json:"answerSlackS"`
		AskWithinS     float64 `json:"askWithinS"`
		ColdFrom       float64 `json:"coldFrom"`
		DrainGraceS    float64 `json:"drainGraceS"`
		FallS          float64 `json:"fallS"`
		OverloadFactor float64 `json:"overloadFactor"`
		WarmWithinS    float64 `json:"warmWithinS"`
	} `json:"rules"`
}
