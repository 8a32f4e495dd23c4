#include "commands.hpp"

namespace jujubectl {

namespace internal {

// The script draws one horizontal lane per VM. An event with a `peer` is
// connected by a line to the next event of the same request or ticket on that
// VM.
constexpr const char *PageStart = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jujubecart timeline</title>
<style>
body{font:14px sans-serif;margin:16px}
svg{border:1px solid #ccc;background:#fff}
text{font:12px sans-serif}
table{border-collapse:collapse;margin-top:12px}
td,th{border-bottom:1px solid #eee;padding:2px 8px;text-align:left}
</style></head><body>
<h1>jujubecart timeline</h1>
<p>Filter: <input id="filter" size="40" placeholder="request, ticket, VM, server or kind">
 <span id="count"></span></p>
<div style="overflow-x:auto"><svg id="chart"></svg></div>
<table><thead><tr><th>time (ms)</th><th>VM</th><th>event</th><th>details</th></tr></thead>
<tbody id="rows"></tbody></table>
<script id="events" type="application/json">)";

constexpr const char *PageEnd = R"(</script>
<script>
const all=JSON.parse(document.getElementById('events').textContent);
const ns='http://www.w3.org/2000/svg';
const colors={call:'#1f77b4',dispatch:'#2ca02c',config:'#d62728',ticket:'#d62728',member:'#9467bd',vm:'#8c564b'};
const maxRows=2000, left=140, lane=34, width=1400;
function add(parent,name,attributes,text){
  const node=document.createElementNS(ns,name);
  for(const key in attributes)node.setAttribute(key,attributes[key]);
  if(text!==undefined)node.textContent=text;
  parent.appendChild(node);return node;
}
function details(event){
  return ['request','order_key','ticket','server','peer','detail']
    .filter(key=>event[key]!==undefined).map(key=>key+'='+event[key]).join(' ');
}
function draw(){
  const wanted=document.getElementById('filter').value;
  const events=all.filter(e=>!wanted||(e.vm+' '+e.kind+' '+details(e)).includes(wanted));
  const vms=[...new Set(events.map(e=>e.vm))].sort();
  const chart=document.getElementById('chart');
  chart.replaceChildren();
  chart.setAttribute('width',left+width+40);
  chart.setAttribute('height',vms.length*lane+30);
  const first=events.length?events[0].time_us:0;
  const last=events.length?events[events.length-1].time_us:1;
  const x=e=>left+(e.time_us-first)/Math.max(1,last-first)*width;
  const y=vm=>vms.indexOf(vm)*lane+20;
  for(const vm of vms){
    add(chart,'text',{x:4,y:y(vm)+4},vm);
    add(chart,'line',{x1:left,x2:left+width,y1:y(vm),y2:y(vm),stroke:'#ddd'});
  }
  events.slice(0,maxRows).forEach((event,index)=>{
    if(event.peer&&vms.includes(event.peer)){
      const end=events.slice(index+1,index+500).find(e=>e.vm===event.peer&&
        (event.request?e.request===event.request:event.ticket?e.ticket===event.ticket:false));
      if(end)add(chart,'line',{x1:x(event),y1:y(event.vm),x2:x(end),y2:y(end.vm),stroke:'#aaa'});
    }
    const dot=add(chart,'circle',{cx:x(event),cy:y(event.vm),r:4,
      fill:colors[event.kind.split('.')[0]]||'#555'});
    add(dot,'title',{},((event.time_us-first)/1000).toFixed(3)+' ms '+event.vm+' '+event.kind+' '+details(event));
  });
  document.getElementById('count').textContent=events.length+' of '+all.length+' events';
  const rows=document.getElementById('rows');
  rows.replaceChildren();
  for(const event of events.slice(0,maxRows)){
    const row=rows.insertRow();
    row.insertCell().textContent=((event.time_us-first)/1000).toFixed(3);
    row.insertCell().textContent=event.vm;
    row.insertCell().textContent=event.kind;
    row.insertCell().textContent=details(event);
  }
}
document.getElementById('filter').addEventListener('input',draw);
draw();
</script></body></html>
)";

// Escapes `<`, so that text from a caller cannot close the script element.
std::string escapeForScript(std::string Text) {
  for (std::size_t Index = Text.find('<'); Index != std::string::npos;
       Index = Text.find('<', Index))
    Text.replace(Index, 1, "\\u003c");
  return Text;
}

} // namespace internal

std::string timelinePage(const nlohmann::json &Events) {
  return internal::PageStart +
         internal::escapeForScript(Events.dump(
             -1, ' ', true, nlohmann::json::error_handler_t::replace)) +
         internal::PageEnd;
}

} // namespace jujubectl
