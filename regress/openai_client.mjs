// Checks that the OpenAI client library works unchanged against an instance,
// plain and streamed.  Guards against answers that only our own tools accept.
//
//   npm install --no-save openai
//   node regress/openai_client.mjs http://127.0.0.1:8101/v1 MODEL
import OpenAI from "openai";

const [baseURL, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey: "unused", maxRetries: 0 });
const messages = [{ role: "user", content: "draft a return reply" }];

function need(condition, what) {
  if (!condition) {
    console.error(`failed: ${what}`);
    process.exit(1);
  }
  console.log(`ok: ${what}`);
}

const models = await client.models.list();
need(models.data.some((m) => m.id === model), "model is listed");

const plain = await client.chat.completions.create({
  model, messages, max_tokens: 8,
});
need(plain.choices[0].message.content.length > 0, "plain chat completion");
need(plain.choices[0].finish_reason !== null, "finish reason");

let streamed = "";
let finish = null;
const stream = await client.chat.completions.create({
  model, messages, max_tokens: 8, stream: true,
});
for await (const chunk of stream) {
  streamed += chunk.choices[0]?.delta?.content ?? "";
  finish = chunk.choices[0]?.finish_reason ?? finish;
}
need(streamed === plain.choices[0].message.content, "streamed equals plain");
need(finish !== null, "finish reason of the stream");

const text = await client.completions.create({
  model, prompt: "status of parcel 7", max_tokens: 4,
});
need(text.choices[0].text.length > 0, "plain completion");

try {
  await client.chat.completions.create({ model: "no-such-model", messages });
  need(false, "unknown model is refused");
} catch (error) {
  need(error.status === 404, "unknown model is refused with 404");
}
