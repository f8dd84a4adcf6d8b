.PHONY: build run test measure slopes stops faults lint

build:
	go build -o bin/pimentorail ./cmd/pimentorail

run: build
	sh scripts/run.sh

test:
	go test -race ./...

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
