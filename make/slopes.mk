# Slopes of the cost of coordination, for docs/CAPACITY.md.

.PHONY: slopes

slopes: ## measure how coordination grows with the fleet (about 3 minutes)
	@$(GO) run ./cmd/sesame-slopes
