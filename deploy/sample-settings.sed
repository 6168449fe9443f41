# Fills in deploy/pollenspoked.yaml.template as the platform would, for scripts/check_deploy_build.sh.
s/{{node}}/edge-a-1/
s/{{zone}}/zone-a/
s/{{ip}}/10.1.0.30/
s/{{listen\.front}}/10.1.0.30:8782/
s/{{listen\.ready}}/10.1.0.30:8789/
s/{{listen\.directory}}/10.1.0.30:8780/
s/{{internal-ports\.0}}/7340/
s/{{platform\.address}}/10.200.1.7:8784/
s/{{bounds\.retry-budget-ratio}}/0.2/
s/{{bounds\.budget-slack}}/60/
s/{{bounds\.budget-window-s}}/10/
s/{{bounds\.grace-s}}/6/
s/{{limits\.memory-mb}}/260/
s/{{limits\.cpu-share}}/0.2/
s/{{limits\.cpu-cores}}/1/
s/{{limits\.bandwidth-mbps}}/200.0/
s/{{limits\.max-fds}}/4100/
