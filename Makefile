.PHONY: build run test soak measure slopes stops faults lint

build:
	go build -o bin/pimentorail ./cmd/pimentorail

run: build
	sh scripts/run.sh

test:
	go test -race ./...

# SEED selects the injected faults, MINUTES how long they are injected.
soak:
	SOAK_SEED=$(or $(SEED),1) SOAK_MINUTES=$(or $(MINUTES),1) go test -count=1 -timeout 60m -run TestSoak -v ./platform/soaker

measure: build
	sh scripts/measure.sh

slopes: build
	sh scripts/slopes.sh

stops: build
	sh scripts/stops.sh

faults: build
	sh scripts/faults.sh

lint:
	go tool gofumpt -l cmd pkg internal platform
	go tool revive -set_exit_status ./...
